use super::*;
use serde_json::Value;

/// The fields that name an entry of a list, in the order in which they are looked for.
const NAME_FIELDS: [&str; 2] = ["name", "id"];

/// Returns the fields in which a document differs from the one in force. Entries of a list are
/// compared by name if all have one, else by position, or by value if the lengths differ.
#[must_use]
pub fn differences(document: &Value, in_force: &Value) -> Vec<Advice> {
    let mut found = Vec::new();
    compare("", document, in_force, &mut found);
    found
}

fn compare(field: &str, new: &Value, old: &Value, found: &mut Vec<Advice>) {
    match (new, old) {
        (Value::Object(new), Value::Object(old)) => {
            let names: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
            for name in names {
                let null = Value::Null;
                let sides = (new.get(name).unwrap_or(&null), old.get(name).unwrap_or(&null));
                compare(&child(field, name), sides.0, sides.1, found);
            }
        }
        (Value::Array(new), Value::Array(old)) => compare_lists(field, new, old, found),
        (new, old) if new == old => {}
        (new, old) => found.push(difference(field, sentence(new, old))),
    }
}

fn compare_lists(field: &str, new: &[Value], old: &[Value], found: &mut Vec<Advice>) {
    match (names(new), names(old)) {
        (Some(new_names), Some(old_names)) => {
            for (index, (name, entry)) in new_names.iter().zip(new).enumerate() {
                let known = old_names.iter().position(|old_name| old_name == name);
                let in_force = known.map_or(&Value::Null, |position| &old[position]);
                compare(&child(field, &index), entry, in_force, found);
            }
            let missing = old_names.iter().filter(|name| !new_names.contains(name));
            let text = |name: &&str| format!("The entry {name:?} is missing; it is in force.");
            found.extend(missing.map(|name| difference(field, text(name))));
        }
        _ if new.len() == old.len() => {
            for (index, (new, old)) in new.iter().zip(old).enumerate() {
                compare(&child(field, &index), new, old, found);
            }
        }
        _ => {
            for (index, entry) in new.iter().enumerate().filter(|(_, entry)| !old.contains(entry)) {
                compare(&child(field, &index), entry, &Value::Null, found);
            }
            let missing = old.iter().filter(|entry| !new.contains(entry));
            found.extend(missing.map(|entry| difference(field, sentence(&Value::Null, entry))));
        }
    }
}

/// Returns the names of the entries of a list; none unless all have one and all differ.
fn names(list: &[Value]) -> Option<Vec<&str>> {
    let names = NAME_FIELDS.iter().find_map(|name_field| {
        let names = list.iter().map(|entry| entry.get(name_field)?.as_str());
        names.collect::<Option<Vec<&str>>>()
    })?;
    let distinct: BTreeSet<&str> = names.iter().copied().collect();
    (distinct.len() == names.len()).then_some(names)
}

fn child(field: &str, name: &dyn Display) -> String {
    if field.is_empty() { name.to_string() } else { format!("{field}.{name}") }
}

fn difference(field: &str, text: String) -> Advice {
    Advice {
        level: AdviceLevel::Difference,
        field: field.into(),
        text: text.into(),
        mend: SmolStr::default(),
    }
}

fn sentence(new: &Value, old: &Value) -> String {
    match (new, old) {
        (new, Value::Null) => format!("It is new: {}.", short(new)),
        (Value::Null, old) => format!("It is missing; in force it is {}.", short(old)),
        (new, old) => format!("It is {}; in force it is {}.", short(new), short(old)),
    }
}

/// Returns a value in at most one line.
fn short(value: &Value) -> String {
    const MAX_CHARS: usize = 60;
    let text = value.to_string();
    if text.chars().count() <= MAX_CHARS {
        return text;
    }
    text.chars().take(MAX_CHARS).chain("…".chars()).collect()
}
