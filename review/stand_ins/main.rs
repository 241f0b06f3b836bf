//! Stand-ins and checks for the scripts of this review: the platform's store, backend servers,
//! clients, and the runner of each case. Only the standard library is used.

mod bench;
mod case_grey;
mod case_keys;
mod case_leave;
mod case_term;
mod case_unframed;
mod client;
mod gateway;
mod http;
mod server;
mod store;

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let code = match words.as_slice() {
        ["server", rest @ ..] => server::run_process(rest),
        ["keys", folder] => case_keys::run(folder),
        ["leave", folder] => case_leave::run(folder),
        ["term", folder] => case_term::run(folder),
        ["grey", folder] => case_grey::run(folder),
        ["unframed", folder] => case_unframed::run(folder),
        _ => {
            eprintln!("usage: stand_ins CASE FOLDER");
            2
        }
    };
    std::process::exit(code);
}
