//! Renting and returning machines, and the room that is kept ready.

use tokio::time::{Duration, Instant};
use tracing::info;

use super::Leader;
use crate::{
    cloud::{DELETE_LIMIT, RENT_LIMIT},
    fleet::{Machine, MachineReturn, ReturnReason, TerminationProof},
    protocol::{ListedMachine, MachineId, MachineType, ProvisionRequest},
    scheduler::Resources,
};

impl Leader {
    pub(super) fn return_machines(&mut self, now: Instant, proof: TerminationProof) {
        let types = self.types.clone();
        let boot = |kind: &str| types.iter().find(|t| &*t.name == kind).map_or(60.0, |t| t.boot_s);
        for MachineReturn { machine, reason } in
            self.fleet.machines_to_return(&self.settings, boot, proof, now)
        {
            self.delete(&machine, reason, now);
        }
        self.note_spot_load(now);
        let (spare, spare_spot) = (self.spare_machines(), self.spare_spot());
        // A machine takes tasks only from its second report on: where boots
        // are short it must not go before it could be of use.
        let least = self.settings.heartbeat_interval() * 3;
        // Idleness counts from the end of an outage: nothing could be placed
        // within it, and the work that waited is placed next.
        let back = self.unpaused.unwrap_or(now);
        let mut idle: Vec<(bool, Instant, MachineId)> = self
            .fleet
            .machines
            .iter()
            .filter(|(_, m)| m.bound.is_empty() && !m.deleting && m.has_reported())
            .filter_map(|(id, m)| {
                let since = m.idle_since?.max(back);
                let wait = boot(&m.machine_type) * self.settings.operator.idle_boots;
                let wait = Duration::from_secs_f64(wait).max(least);
                (now > since + wait).then(|| (!m.spot, since, id.clone()))
            })
            .collect();
        idle.sort();
        let ordinary = idle.iter().filter(|(ordinary, ..)| *ordinary).count();
        let mut keep = [spare_spot.min(idle.len() - ordinary), spare.min(ordinary)];
        for (ordinary, _, id) in idle.into_iter().rev() {
            let keep = &mut keep[usize::from(ordinary)];
            if *keep > 0 {
                *keep -= 1;
                continue;
            }
            self.delete(&id, ReturnReason::Idle, now);
        }
        let keep = Duration::from_secs_f64(self.settings.cluster.cloud.list_lag_s * 10.0)
            + self.settings.worker_lease() * 10;
        self.fleet.forget_deleted(now, keep);
    }

    /// Room on ordinary machines kept ready for what may come: empty machines
    /// for tasks that need most of one, and room anywhere, in machines, for
    /// the rest. Arrivals and departures of work whose class has an aim on
    /// waiting make its load swing by about the root of it, and a boot is too
    /// long to wait for. Waiting work counts, or a fleet that starts from
    /// nothing would have no room for boots that take several times as long.
    pub(super) fn spare(&self) -> (usize, f64) {
        let (mut whole, mut partial) = (0.0, 0.0);
        for job in self.jobs.values() {
            if job.awaits_dependencies || job.spec.spot || self.wait_aim(&job.spec).is_none() {
                continue;
            }
            let need = Resources::of_task(&job.spec);
            let shares = self.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
            let share = shares.fold(f64::INFINITY, f64::min).min(1.0);
            let load = share * f64::from(job.remaining());
            if share > 0.5 {
                whole += load;
            } else {
                partial += load;
            }
        }
        let headroom = self.settings.operator.headroom;
        ((whole.sqrt() * headroom).round() as usize, partial.sqrt() * headroom)
    }

    /// Empty spot machines kept ready for work that may use them and has an
    /// aim; as many more as they are cheaper than ordinary ones, since what a
    /// late start costs is the same. While that work grows, what it grew by
    /// within the last boot is likely to come again within the next: rented
    /// only when it has come, all of it would wait for a boot.
    pub(super) fn spare_spot(&self) -> usize {
        let cheaper =
            |t: &MachineType| if t.spot_price > 0.0 { t.price / t.spot_price } else { 1.0 };
        let cheaper = self.types.iter().map(cheaper).fold(1.0, f64::max);
        let load = self.spot_load();
        let before = self.spot_loads.front().map_or(load, |(_, load)| *load);
        let swing = load.sqrt() * self.settings.operator.headroom * cheaper;
        (swing + (load - before).max(0.0)).round() as usize
    }

    /// The work, in machines, that may use spot machines and has an aim.
    fn spot_load(&self) -> f64 {
        let aims = &self.settings.cluster.objectives;
        self.jobs
            .values()
            .filter(|job| job.spec.spot && job.is_active())
            .filter(|job| aims.iter().any(|o| o.class.as_ref() == Some(&job.spec.class)))
            .map(|job| {
                let need = Resources::of_task(&job.spec);
                let shares = self.types.iter().map(|t| need.share_of(&Resources::of_type(t)));
                shares.fold(f64::INFINITY, f64::min).min(1.0) * f64::from(job.remaining())
            })
            .sum()
    }

    /// Notes the load, for as long as a boot takes.
    fn note_spot_load(&mut self, now: Instant) {
        let boot_s = self.types.iter().map(|t| t.boot_s).fold(0.0, f64::max);
        let boot = Duration::from_secs_f64(boot_s);
        self.spot_loads.push_back((now, self.spot_load()));
        while self.spot_loads.front().is_some_and(|(at, _)| now > *at + boot) {
            self.spot_loads.pop_front();
        }
    }

    /// How many empty ordinary machines that takes.
    pub(super) fn spare_machines(&self) -> usize {
        let (empty, room) = self.spare();
        empty + (room - self.partial_room()).max(0.0).round() as usize
    }

    /// Free room on ordinary machines that hold tasks, in machines.
    fn partial_room(&self) -> f64 {
        let free = |m: &Machine| {
            let kind = self.types.iter().find(|t| t.name == m.machine_type)?;
            let mut used = Resources::default();
            for key in &m.bound {
                let job = self.jobs.get(&key.job)?;
                used.add(&Resources::of_task(&job.spec));
            }
            Some((1.0 - used.share_of(&Resources::of_type(kind))).max(0.0))
        };
        let held = self.fleet.machines.values().filter(|m| !m.spot && !m.bound.is_empty());
        held.filter_map(free).sum()
    }

    pub(super) fn delete(&mut self, id: &MachineId, reason: ReturnReason, now: Instant) {
        let Some(machine) = self.fleet.machines.get_mut(id) else { return };
        if machine.deleting {
            return;
        }
        machine.deleting = true;
        info!(
            machine = %id, zone = %machine.zone, spot = machine.spot, reason = reason.as_str(),
            silent_s = machine.silence(now).as_secs_f64(), "returning a machine"
        );
        self.deletions.push(id.clone());
    }

    pub(super) fn rent(&mut self, wanted: Vec<(usize, u8, bool, u32)>) {
        for (kind, zone, spot, count) in wanted {
            let (Some(t), Some(zone)) =
                (self.types.get(kind), self.settings.cluster.zones.get(usize::from(zone)))
            else {
                continue;
            };
            // One request per kind at a time: its answer changes the watch cache.
            let same = |r: &ProvisionRequest| {
                r.machine_type == t.name && r.zone == *zone && r.spot == spot
            };
            if self.rentals.iter().chain(&self.renting).any(same) {
                continue;
            }
            self.rental_count += 1;
            let rental = ProvisionRequest {
                // The token is this leadership's sole_renewer_since, so no name is used twice.
                request: format!("r-{}-{}", self.tokens.first(), self.rental_count),
                machine_type: t.name.clone(),
                zone: zone.clone(),
                spot,
                count: count.min(RENT_LIMIT),
            };
            info!(request = %rental.request, zone = %rental.zone, spot, count, "renting");
            self.rentals.push(rental);
        }
    }

    pub fn take_rentals(&mut self) -> Vec<ProvisionRequest> {
        let rentals = std::mem::take(&mut self.rentals);
        self.renting.extend(rentals.iter().cloned());
        rentals
    }

    /// The cloud answered: machines, or none for now.
    pub fn rented(
        &mut self,
        rental: &ProvisionRequest,
        machines: Option<Vec<MachineId>>,
        now: Instant,
    ) {
        self.renting.retain(|r| r.request != rental.request);
        let machines = machines.unwrap_or_default();
        if machines.len() < rental.count as usize {
            let kind = self.types.iter().position(|t| t.name == rental.machine_type);
            let zone = self.settings.zone_index(&rental.zone);
            if let (Some(kind), Some(zone)) = (kind, zone) {
                let wait = Duration::from_secs_f64(self.types[kind].boot_s / 4.0);
                info!(zone = %rental.zone, spot = rental.spot, "the cloud has no more of these");
                self.refused.insert((kind, zone, rental.spot), now + wait);
            }
        }
        for id in machines {
            if self.fleet.deleted_machines.contains_key(&id) {
                continue;
            }
            self.fleet.machines.entry(id).or_insert_with(|| {
                let (kind, zone) = (rental.machine_type.clone(), rental.zone.clone());
                Machine::new(kind, zone, rental.spot, now)
            });
        }
        self.note_change();
        self.round_due = true;
    }

    pub fn take_deletions(&mut self) -> Vec<MachineId> {
        let count = self.deletions.len().min(DELETE_LIMIT);
        self.deletions.drain(..count).collect()
    }

    /// The cloud answered a deletion: proof for everything on the machines.
    pub fn deleted(&mut self, machines: &[MachineId], now: Instant) {
        for id in machines {
            self.lose_incarnations(id, u64::MAX, now);
            self.fleet.machines.remove(id);
            self.fleet.deleted_machines.insert(id.clone(), now);
        }
        self.note_change();
    }

    /// No answer to a deletion: asked again.
    pub fn not_deleted(&mut self, machines: Vec<MachineId>) {
        self.deletions.extend(machines);
    }

    pub fn on_list(&mut self, list: &[ListedMachine], now: Instant) {
        for listed in list {
            // Bindings from the records name machines before their type is known.
            if let Some(machine) = self.fleet.machines.get_mut(&listed.id) {
                if machine.machine_type.is_empty() {
                    machine.machine_type = listed.machine_type.clone();
                    machine.spot = listed.spot;
                    self.note_change();
                }
            } else {
                self.note_change();
            }
        }
        self.fleet.record_list(list, now);
    }
}
