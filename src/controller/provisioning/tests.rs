use super::*;

fn request(spot: bool, count: u32) -> ProvisionRequest {
    ProvisionRequest {
        request: String::new(),
        machine_type: "t".into(),
        zone: "z".into(),
        spot,
        count,
    }
}

#[test]
fn one_open_request_per_kind_and_unique_request_ids() {
    let mut provisioning = Provisioning::default();
    let first = provisioning.request(5, request(false, 1)).expect("no request is open").clone();
    assert_eq!(first.request, "r-5-1");
    assert!(provisioning.request(5, request(false, 2)).is_none(), "one of this kind is queued");
    assert!(provisioning.request(5, request(true, 2)).is_some(), "spot is another kind");
    assert_eq!(provisioning.take_requests().len(), 2);
    assert!(provisioning.request(5, request(false, 2)).is_none(), "one of this kind is in flight");
    provisioning.finish(&first);
    let next =
        provisioning.request(5, request(false, u32::MAX)).expect("the first request was answered");
    assert_eq!((&*next.request, next.count), ("r-5-3", MAX_PROVISIONED_MACHINES));
}

#[tokio::test(start_paused = true)]
async fn exhausted_kind_is_listed_until_its_deadline() {
    let mut provisioning = Provisioning::default();
    let now = Instant::now();
    let until = now + Duration::from_secs(5);
    let kind = MachineKind { machine_type: 0, zone: 1, spot: true };
    provisioning.mark_exhausted(kind, until);
    assert_eq!(provisioning.exhausted(now), [kind]);
    assert!(provisioning.exhausted(until).is_empty());
}
