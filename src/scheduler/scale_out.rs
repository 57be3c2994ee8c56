//! Which machines to rent for what finds no place, and for headroom.

use std::collections::BTreeMap;

use super::{
    bin_packing::find,
    decisions::Decisions,
    eligibility::{Zones, allows},
    resources::Resources,
    snapshot::{Snapshot, bind_tentatively},
    view::MachineView,
};
use crate::protocol::MachineId;

/// Rents for tasks that no running machine takes, after the booting machines
/// are filled tentatively.
pub fn rent(snapshot: &mut Snapshot<'_>, lacking: &[(usize, Vec<u32>)], decisions: &mut Decisions) {
    let real = snapshot.machines.len();
    for (at, tasks) in lacking {
        let mut left = tasks.len();
        let found = find(snapshot, *at, left, false);
        left -= found.len();
        for machine in found {
            if machine < real {
                decisions.awaited.push(snapshot.machines[machine].id.clone());
            }
            bind_tentatively(snapshot, *at, machine);
        }
        while left > 0 {
            let Some((kind, zone, spot)) = choose(snapshot, *at) else { break };
            snapshot.machines.push(MachineView {
                id: MachineId::from(""),
                kind,
                zone,
                spot,
                free: Resources::of_type(&snapshot.types[kind]),
                stopping: Resources::default(),
                ready: false,
                empty: true,
                awaited: false,
                reservation: None,
                images: Vec::new(),
            });
            let machine = snapshot.machines.len() - 1;
            let need = Resources::of_task(&snapshot.jobs[*at].spec);
            while left > 0 && snapshot.machines[machine].free.holds(&need) {
                let zones = Zones::of(&snapshot.jobs[*at], |z| snapshot.settings.zone_index(z));
                if !zones.allow(zone) {
                    break;
                }
                bind_tentatively(snapshot, *at, machine);
                left -= 1;
            }
        }
    }
    let mut counts: BTreeMap<(usize, u8, bool), u32> = BTreeMap::new();
    for (spot, spare) in [(false, snapshot.spare), (true, snapshot.spare_spot)] {
        let empty = snapshot.machines.iter().filter(|m| m.empty && m.spot == spot).count();
        if let Some(kind) = spare_kind(snapshot, spot)
            && empty < spare
        {
            *counts.entry(kind).or_default() += (spare - empty) as u32;
        }
    }
    for machine in &snapshot.machines[real..] {
        *counts.entry((machine.kind, machine.zone, machine.spot)).or_default() += 1;
    }
    decisions.rent =
        counts.into_iter().map(|((kind, zone, spot), n)| (kind, zone, spot, n)).collect();
}

/// The kind of a spare machine: the cheapest one for its room, in the zone
/// with the fewest machines.
fn spare_kind(snapshot: &Snapshot<'_>, spot: bool) -> Option<(usize, u8, bool)> {
    let mut kinds: Vec<(f64, usize, (usize, u8, bool))> = Vec::new();
    for (kind, t) in snapshot.types.iter().enumerate() {
        for zone in t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z)) {
            if !snapshot.refused.contains(&(kind, zone, spot)) {
                let there = snapshot.machines.iter().filter(|m| m.zone == zone).count();
                let price = if spot { t.spot_price } else { t.price };
                kinds.push((price / t.gpus.max(t.cpus), there, (kind, zone, spot)));
            }
        }
    }
    kinds.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)));
    kinds.first().map(|(_, _, key)| *key)
}

/// The cheapest kind of machine that one more task may go to, in the zone
/// with the fewest machines so far.
fn choose(snapshot: &Snapshot<'_>, at: usize) -> Option<(usize, u8, bool)> {
    let job = &snapshot.jobs[at];
    let zones = Zones::of(job, |z| snapshot.settings.zone_index(z));
    let mut best: Option<(f64, usize, (usize, u8, bool))> = None;
    for (kind, t) in snapshot.types.iter().enumerate() {
        for spot in [true, false] {
            if !allows(&job.spec, t, spot) {
                continue;
            }
            let price = if spot { t.spot_price } else { t.price };
            let price = price * Resources::of_task(&job.spec).share_of(&Resources::of_type(t));
            for zone in t.zones.iter().filter_map(|z| snapshot.settings.zone_index(z)) {
                let key = (kind, zone, spot);
                if snapshot.refused.contains(&key) || !zones.allow(zone) {
                    continue;
                }
                let there = snapshot.machines.iter().filter(|m| m.zone == zone).count();
                if best.is_none_or(|(p, n, _)| (price, there) < (p, n)) {
                    best = Some((price, there, key));
                }
            }
        }
    }
    best.map(|(_, _, key)| key)
}
