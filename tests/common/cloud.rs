//! Simulated cloud: machine types, rentals and the machine list.

use std::{net::SocketAddr, time::Duration};

use futures_util::future::BoxFuture;
use stonewheel::{
    cloud::{CloudApi, CloudError},
    protocol::{
        ListedMachine, MachineId, MachineList, MachineState, MachineType, ProvisionRequest,
    },
};
use tokio::time::sleep;

use super::{deployment::TestDeployment, lock, repeated::RepeatedKind, samples::machine_type};

/// Returns the address of a machine's worker, as the cloud lists it.
pub fn address_of(machine: &str) -> SocketAddr {
    let number: u16 =
        machine.trim_start_matches("n-").parse().expect("a machine of the simulated cloud");
    let [high, low] = number.to_be_bytes();
    SocketAddr::from(([10, 1, high, low], 9000))
}

/// Returns the machine at an address. Any text that is not an IPv4 address is taken as the
/// machine's name.
pub fn machine_at(address: &str) -> MachineId {
    match address.parse::<SocketAddr>() {
        Ok(SocketAddr::V4(address)) => {
            let [.., high, low] = address.ip().octets();
            format!("n-{:06}", u16::from_be_bytes([high, low])).into()
        }
        _ => address.into(),
    }
}

impl CloudApi for TestDeployment {
    fn machine_types(&self) -> BoxFuture<'_, Result<Vec<MachineType>, CloudError>> {
        Box::pin(async { Ok(vec![machine_type()]) })
    }

    fn provision(
        &self,
        rental: ProvisionRequest,
    ) -> BoxFuture<'_, Result<Vec<MachineId>, CloudError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(100)).await;
            let answer = self.rent(&rental);
            self.deliver_copies(RepeatedKind::Cloud, move |deployment| {
                let _ = deployment.rent(&rental);
                async {}
            });
            answer
        })
    }

    fn delete(&self, machines: Vec<MachineId>) -> BoxFuture<'_, Result<(), CloudError>> {
        Box::pin(async move {
            sleep(Duration::from_millis(100)).await;
            self.remove_machines(&machines);
            self.deliver_copies(RepeatedKind::Cloud, move |deployment| {
                deployment.remove_machines(&machines);
                async {}
            });
            Ok(())
        })
    }

    fn list(&self, since: &str) -> BoxFuture<'_, Result<MachineList, CloudError>> {
        let since = since.to_owned();
        Box::pin(async move {
            let inner = lock(&self.inner);
            let machines = inner
                .workers
                .iter()
                .filter(|(id, _)| ***id > *since)
                .map(|(id, worker)| ListedMachine {
                    id: id.clone(),
                    machine_type: "g8".into(),
                    zone: worker.zone.clone(),
                    spot: worker.spot,
                    address: address_of(id).to_string(),
                    state: MachineState::Running,
                    age_s: 0.0,
                })
                .collect();
            Ok(MachineList { machines, more: false })
        })
    }
}

impl TestDeployment {
    /// Carries out a rental request, or repeats the answer to a known one.
    fn rent(&self, rental: &ProvisionRequest) -> Result<Vec<MachineId>, CloudError> {
        let mut inner = lock(&self.inner);
        if let Some(names) = inner.rented.get(&rental.request) {
            return Ok(names.clone());
        }
        if inner.no_capacity {
            return Err(CloudError::NoCapacity);
        }
        let mut names = Vec::new();
        for _ in 0..rental.count {
            inner.last_machine_number += 1;
            let name: MachineId = format!("n-{:06}", inner.last_machine_number).into();
            names.push(name.clone());
            self.boot(name, rental.zone.clone(), rental.spot, Duration::from_secs(20));
        }
        inner.rented.insert(rental.request.clone(), names.clone());
        Ok(names)
    }

    fn remove_machines(&self, machines: &[MachineId]) {
        let mut inner = lock(&self.inner);
        for machine in machines {
            inner.workers.remove(machine);
        }
    }

    /// Makes the cloud refuse new rentals for lack of capacity.
    pub fn exhaust_capacity(&self) {
        lock(&self.inner).no_capacity = true;
    }
}
