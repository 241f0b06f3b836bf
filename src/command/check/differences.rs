use super::*;
use serde_json::Value;

/// Returns the fields in which a document differs from the one in force.
#[must_use]
pub fn differences(document: &Value, in_force: &Value) -> Vec<Advice> {
    let mut found = Vec::new();
    compare("", document, in_force, &mut found);
    found
}

fn compare(field: &str, new: &Value, old: &Value, found: &mut Vec<Advice>) {
    let child = |name: &dyn Display| {
        if field.is_empty() { name.to_string() } else { format!("{field}.{name}") }
    };
    match (new, old) {
        (Value::Object(new), Value::Object(old)) => {
            let names: BTreeSet<&String> = new.keys().chain(old.keys()).collect();
            for name in names {
                let null = Value::Null;
                let sides = (new.get(name).unwrap_or(&null), old.get(name).unwrap_or(&null));
                compare(&child(name), sides.0, sides.1, found);
            }
        }
        (Value::Array(new), Value::Array(old)) if new.len() == old.len() => {
            for (index, (new, old)) in new.iter().zip(old).enumerate() {
                compare(&child(&index), new, old, found);
            }
        }
        (new, old) if new == old => {}
        (new, old) => found.push(Advice {
            level: AdviceLevel::Difference,
            field: field.into(),
            text: sentence(new, old).into(),
            mend: SmolStr::default(),
        }),
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
