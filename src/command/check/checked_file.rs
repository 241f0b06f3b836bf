use super::*;

/// A configuration file and the remarks about it.
#[derive(Debug)]
pub struct CheckedFile {
    file: SmolStr,
    text: String,
    document: serde_json::Value,
    advice: Vec<Advice>,
}

impl CheckedFile {
    /// Checks the text of a file: a document of teams and models, or one of routes.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON, or a field has the wrong type.
    pub fn new(file: &str, text: String) -> Result<Self, DocumentError> {
        let document: serde_json::Value = parse_document(file, &text)?;
        let advice = if document.get("routes").is_some() && document.get("schema").is_none() {
            advise_operator_document(document.to_string().as_bytes())
        } else {
            Self::advise_teams(&parse_document(file, &text)?)
        };
        Ok(Self { file: file.into(), text, document, advice })
    }

    fn advise_teams(document: &ConfigurationDocument) -> Vec<Advice> {
        match check_document(document) {
            Ok(()) => advise(document),
            Err(error) => vec![Advice {
                level: AdviceLevel::Error,
                field: error.field(),
                text: error.to_string().into(),
                mend: SmolStr::default(),
            }],
        }
    }

    /// Adds what differs from the document in force.
    #[must_use]
    pub fn against(mut self, in_force: &serde_json::Value) -> Self {
        self.advice.extend(differences(&self.document, in_force));
        self
    }

    /// Returns the remarks.
    #[must_use]
    pub fn advice(&self) -> &[Advice] {
        &self.advice
    }

    /// Returns the exit code: 0 if there is nothing to say, 1 for warnings and differences, 2 for
    /// errors.
    #[must_use]
    pub fn exit_code(&self) -> u8 {
        match self.advice.iter().map(|advice| advice.level).max() {
            None => 0,
            Some(AdviceLevel::Difference | AdviceLevel::Warning) => 1,
            Some(AdviceLevel::Error) => 2,
        }
    }

    /// Returns the remarks as JSON, each with its file and line.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        let remark = |advice: &Advice| {
            let mut remark = serde_json::json!(advice);
            remark["file"] = self.file.as_str().into();
            remark["line"] = line_of_field(&self.text, &advice.field).into();
            remark
        };
        self.advice.iter().map(remark).collect()
    }

    /// Returns the remarks as text, a line for each; "in order" if there are none.
    #[must_use]
    pub fn to_text(&self) -> String {
        if self.advice.is_empty() {
            return format!("{}: in order\n", self.file);
        }
        let line = |advice: &Advice| {
            let level = match advice.level {
                AdviceLevel::Difference => "differs",
                AdviceLevel::Warning => "warning",
                AdviceLevel::Error => "error",
            };
            let line = line_of_field(&self.text, &advice.field);
            let Advice { field, text, mend, .. } = advice;
            let text = format!("{}, line {line}: {level}: {field}: {text} {mend}", self.file);
            text.trim_end().to_owned() + "\n"
        };
        self.advice.iter().map(line).collect()
    }
}
