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
    /// Live upstreams by target, without those in evacuated data centres. A target whose upstreams
    /// are all in such has an empty row.
    pub(crate) upstreams: Arc<HashMap<Target, Vec<Arc<Announcement>>>>,
}

impl View {
    /// Replaces the directory and rebuilds the index by target.
    pub(crate) fn with_directory(mut self, directory: Directory) -> Self {
        self.directory = Arc::new(directory);
        self.rebuild_upstreams();
        self
    }

    /// Replaces the configuration and, if other data centres are evacuated, rebuilds the index by
    /// target.
    pub(crate) fn with_config(mut self, config: Arc<ConfigView>) -> Self {
        let is_same = self.config.evacuated == config.evacuated;
        self.config = config;
        if !is_same {
            self.rebuild_upstreams();
        }
        self
    }

    fn rebuild_upstreams(&mut self) {
        let mut upstreams: HashMap<Target, Vec<Arc<Announcement>>> = HashMap::default();
        for announced in self.directory.live() {
            let announced = Arc::new(announced.clone());
            let targets = match &announced.serves {
                Serves::Versions(versions) => {
                    versions.iter().cloned().map(Target::Version).collect()
                }
                Serves::Service(service) => vec![Target::Service(service.clone())],
            };
            for target in targets {
                let rows = upstreams.entry(target).or_default();
                if !self.is_evacuated(&announced) {
                    rows.push(announced.clone());
                }
            }
        }
        self.upstreams = Arc::new(upstreams);
    }

    /// Returns whether an upstream is in an evacuated data centre.
    pub(crate) fn is_evacuated(&self, upstream: &Announcement) -> bool {
        self.config.evacuated.contains(&upstream.data_centre)
    }

    /// Returns whether `target` has live upstreams, in evacuated data centres or elsewhere.
    pub(crate) fn has_upstreams(&self, target: &Target) -> bool {
        self.upstreams.contains_key(target)
    }

    /// Returns whether `target` has live upstreams, all of them in evacuated data centres.
    pub(crate) fn is_target_evacuated(&self, target: &Target) -> bool {
        self.upstreams.get(target).is_some_and(Vec::is_empty)
    }

    /// Returns the live upstreams that serve `target`.
    pub(crate) fn upstreams(&self, target: &Target) -> &[Arc<Announcement>] {
        self.upstreams.get(target).map_or(&[], Vec::as_slice)
    }
}
