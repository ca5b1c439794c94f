/// Path segments and query parameters of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestParts {
    /// Segments of the path, without empty ones.
    pub path: Vec<String>,
    /// Names and values of the query parameters.
    pub query: Vec<(String, String)>,
}

impl RequestParts {
    /// Splits a URI.
    pub fn of(uri: &http::Uri) -> Self {
        let path = uri.path().split('/').filter(|part| !part.is_empty());
        let query = uri.query().unwrap_or_default();
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let pair = |text: &str| {
            let (name, value) = text.split_once('=').unwrap_or((text, ""));
            (name.to_owned(), value.to_owned())
        };
        Self {
            path: path.map(str::to_owned).collect(),
            query: pairs.map(pair).collect(),
        }
    }

    /// Returns the value of the first query parameter with a name.
    pub fn query(&self, name: &str) -> Option<&str> {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the path segments as string slices, for matching.
    pub fn segments(&self) -> Vec<&str> {
        self.path.iter().map(String::as_str).collect()
    }
}
