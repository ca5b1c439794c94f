use serde_json::Value;

/// Prints a list of objects as a table and a single object as one line for each field.
pub(crate) fn print_table(value: &Value) {
    match value {
        Value::Array(rows) => print_rows(rows),
        Value::Object(fields) => {
            for (name, field) in fields {
                println!("{name}: {}", cell(field));
            }
        }
        other => println!("{}", cell(other)),
    }
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn print_rows(rows: &[Value]) {
    let mut names: Vec<&str> = Vec::new();
    for row in rows.iter().filter_map(Value::as_object) {
        for name in row.keys() {
            if !names.contains(&name.as_str()) {
                names.push(name);
            }
        }
    }
    let mut lines: Vec<Vec<String>> = vec![names.iter().map(|name| name.to_uppercase()).collect()];
    for row in rows {
        lines.push(names.iter().map(|name| cell(&row[*name])).collect());
    }
    let width = |column: usize| {
        let widths = lines.iter().map(|line| line[column].chars().count());
        widths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..names.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(text, w)| format!("{text:<w$}", w = *w))
            .collect();
        println!("{}", padded.join("  ").trim_end());
    }
}
