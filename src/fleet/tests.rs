use super::*;

#[test]
fn images_that_no_longer_fit_are_not_counted_on() {
    let mut machine = Machine::new("g8".into(), "a".into(), false, Instant::now());
    let [a, b, c]: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    machine.note_image(&a, 40.0, 100.0, &[]);
    machine.note_image(&b, 40.0, 100.0, &[]);
    machine.note_image(&a, 40.0, 100.0, &[]);
    machine.note_image(&c, 40.0, 100.0, &[]);
    let held = |m: &Machine| m.images.iter().map(|(i, _)| i.clone()).collect::<Vec<_>>();
    assert_eq!(held(&machine), [a.clone(), c.clone()], "the longest unused goes");
    machine.note_image(&b, 40.0, 100.0, std::slice::from_ref(&a));
    assert_eq!(held(&machine), [a, b], "an image in use stays");
}
