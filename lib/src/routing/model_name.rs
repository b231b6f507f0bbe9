//! Name by which a caller requests a model.

use smol_str::SmolStr;

use crate::ids::ModelId;

/// A model with an optional version and adapter: `MODEL[@VERSION][:ADAPTER]`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ModelName {
    /// Name of the model.
    pub model: ModelId,
    /// Version that must be loaded; any version if absent.
    pub version: Option<SmolStr>,
    /// Adapter that must be loaded in addition to the model; none required if absent.
    pub adapter: Option<SmolStr>,
}

impl ModelName {
    /// Parses the `model` field of a request.
    pub fn parse(text: &str) -> Self {
        let (text, adapter) = match text.split_once(':') {
            Some((text, adapter)) => (text, Some(adapter.into())),
            None => (text, None),
        };
        let (model, version) = match text.split_once('@') {
            Some((model, version)) => (model, Some(version.into())),
            None => (text, None),
        };
        Self {
            model: model.into(),
            version,
            adapter,
        }
    }

    /// Tells whether a group with `version` and `adapters` can serve the request.
    pub fn is_served_by(&self, version: &str, adapters: &[SmolStr]) -> bool {
        let has_version = self.version.as_ref().is_none_or(|wanted| wanted == version);
        let has_adapter = self
            .adapter
            .as_ref()
            .is_none_or(|wanted| adapters.contains(wanted));
        has_version && has_adapter
    }
}
