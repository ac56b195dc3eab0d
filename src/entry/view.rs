//! An entry's view of the configuration, the upstreams and the other entries.

use std::sync::Arc;

use crate::collections::HashMap;
use crate::peer::ConfigView;
use crate::peer::EntryInfo;
use crate::policy::quality::QualityTable;
use crate::state::Target;
use crate::upstream::Announcement;
use crate::upstream::Directory;
use crate::upstream::Serves;

/// An immutable snapshot. A grant that changes anything replaces it by a new one.
#[derive(Clone, Debug, Default)]
pub(crate) struct View {
    pub(crate) config: Arc<ConfigView>,
    pub(crate) directory: Arc<Directory>,
    pub(crate) quality: Arc<QualityTable>,
    pub(crate) entries: Arc<Vec<EntryInfo>>,
    /// Live upstreams by target.
    pub(crate) upstreams: Arc<HashMap<Target, Vec<Arc<Announcement>>>>,
}

impl View {
    /// Replaces the directory and rebuilds the index by target.
    pub(crate) fn with_directory(mut self, directory: Directory) -> Self {
        let mut upstreams: HashMap<Target, Vec<Arc<Announcement>>> = HashMap::default();
        for announced in directory.live() {
            let announced = Arc::new(announced.clone());
            match &announced.serves {
                Serves::Versions(versions) => {
                    for version in versions {
                        let target = Target::Version(version.clone());
                        upstreams.entry(target).or_default().push(announced.clone());
                    }
                }
                Serves::Service(service) => {
                    let target = Target::Service(service.clone());
                    upstreams.entry(target).or_default().push(announced.clone());
                }
            }
        }
        self.directory = Arc::new(directory);
        self.upstreams = Arc::new(upstreams);
        self
    }

    /// Returns the live upstreams that serve `target`.
    pub(crate) fn upstreams(&self, target: &Target) -> &[Arc<Announcement>] {
        self.upstreams.get(target).map_or(&[], Vec::as_slice)
    }
}
