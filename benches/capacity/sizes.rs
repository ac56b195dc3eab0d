//! Encoded sizes of the most frequent control messages.

use daisyquay::config;
use daisyquay::peer::ConfigView;
use daisyquay::peer::QualityRow;
use daisyquay::peer::UpstreamLoad;
use daisyquay::policy::quality::QualityTable;
use daisyquay::upstream::Announcement;
use daisyquay::upstream::LoadLevel;
use daisyquay::upstream::Presence;
use daisyquay::upstream::Serves;
use daisyquay::upstream::Upstream;
use serde::Serialize;

use super::ledger::claim;
use super::ledger::settle;
use crate::support::INVENTORY;

/// Returns the encoded size of a value, in bytes.
fn encoded_size<T: Serialize>(value: &T) -> usize {
    bincode::serde::encode_to_vec(value, bincode::config::standard())
        .unwrap()
        .len()
}

pub(crate) fn run() {
    println!("message                               bytes");
    let show = |what: &str, bytes: usize| println!("{what:<38} {bytes:>5}");
    let row = UpstreamLoad {
        number: 1_000_000_000,
        level: Some(LoadLevel(7)),
    };
    show("load row", encoded_size(&row));
    let upstream = upstream();
    show("changed upstream", encoded_size(&upstream));
    show("claim", encoded_size(&claim(u128::MAX)));
    show("settlement", encoded_size(&settle(u128::MAX)));
    for (versions, organisations) in [(2, 2), (20, 10), (20, 100)] {
        let what = format!("configuration, {versions} versions, {organisations} organisations");
        show(&what, encoded_size(&view(versions, organisations)));
    }
    let mut quality = QualityTable::default();
    quality.record(&"model-1@1".parse().unwrap(), &"answer".into(), 0.5);
    let (version, class, row) = quality.iter().next().unwrap();
    let row = QualityRow {
        version: version.clone(),
        class: class.clone(),
        history: row.clone(),
    };
    show("quality row", encoded_size(&row));
}

fn upstream() -> Upstream {
    Upstream {
        announced: Announcement {
            id: "dc3-rack12-runner-0815".into(),
            incarnation: 1_796_330_000_000,
            address: "10.20.30.40:8000".parse().unwrap(),
            data_centre: "queensland-3".into(),
            serves: Serves::Versions(vec!["notes@large-2026-11".parse().unwrap(); 3]),
            slots: 8,
            fences_orders: true,
            release: None,
            started_ms: None,
            draining: false,
            cold_ms: 0,
        },
        presence: Presence::Live,
        number: 1_000_000_000,
        changed_at: 1_000_000_000,
        left_ms: 0,
    }
}

fn view(versions: usize, organisations: usize) -> ConfigView {
    let mut inventory = config::parse(INVENTORY).unwrap();
    let model = inventory.models[0].clone();
    let organisation = inventory.organisations[0].clone();
    inventory.models = vec![model; versions / 2];
    inventory.organisations = vec![organisation; organisations];
    ConfigView {
        revision: 1_000_000,
        inventory: inventory.into(),
        ..ConfigView::default()
    }
}
