use jsonc_parser::ast::{ObjectPropName, Value};
use serde_path_to_error::{Path as FieldPath, Segment};

/// Returns the line, starting at 1, of the deepest value on a path that exists in the text.
pub(super) fn line_of(text: &str, options: &jsonc_parser::ParseOptions, path: &FieldPath) -> usize {
    let collect = jsonc_parser::CollectOptions::default();
    let Ok(parsed) = jsonc_parser::parse_to_ast(text, &collect, options) else { return 1 };
    let Some(mut value) = parsed.value.as_ref() else { return 1 };
    let mut start = 0;
    for segment in path {
        let Some((position, next)) = child_value(value, segment) else { break };
        start = position;
        value = next;
    }
    text[..start].matches('\n').count() + 1
}

/// Returns the line of the deepest value on a path of names with dots between them. Names may have
/// dots of their own.
pub(super) fn line_of_field(
    text: &str,
    options: &jsonc_parser::ParseOptions,
    field: &str,
) -> usize {
    let collect = jsonc_parser::CollectOptions::default();
    let Ok(parsed) = jsonc_parser::parse_to_ast(text, &collect, options) else { return 1 };
    let Some(mut value) = parsed.value.as_ref() else { return 1 };
    let (mut start, mut rest) = (0, field);
    while !rest.is_empty() {
        let mut ends = rest.match_indices('.').map(|(end, _)| end).chain([rest.len()]);
        let found = ends.find_map(|end| Some((&rest[..end], child_named(value, &rest[..end])?)));
        let Some((name, (position, next))) = found else { break };
        (start, value) = (position, next);
        rest = rest[name.len()..].trim_start_matches('.');
    }
    text[..start].matches('\n').count() + 1
}

fn child_named<'a, 'b>(value: &'b Value<'a>, name: &str) -> Option<(usize, &'b Value<'a>)> {
    let segment = match value {
        Value::Array(_) => Segment::Seq { index: name.parse().ok()? },
        _ => Segment::Map { key: name.into() },
    };
    child_value(value, &segment)
}

fn child_value<'a, 'b>(value: &'b Value<'a>, segment: &Segment) -> Option<(usize, &'b Value<'a>)> {
    match (value, segment) {
        (Value::Object(object), Segment::Map { key }) => {
            let property =
                object.properties.iter().find(|property| property_name(&property.name) == key)?;
            Some((property.range.start, &property.value))
        }
        (Value::Array(array), Segment::Seq { index }) => {
            let element = array.elements.get(*index)?;
            Some((start_of(element), element))
        }
        _ => None,
    }
}

fn property_name<'b>(name: &'b ObjectPropName<'_>) -> &'b str {
    match name {
        ObjectPropName::String(literal) => &literal.value,
        ObjectPropName::Word(literal) => literal.value,
    }
}

fn start_of(value: &Value<'_>) -> usize {
    use jsonc_parser::common::Ranged;
    value.range().start
}
