use super::*;

#[test]
fn images_that_no_longer_fit_are_not_counted_on() {
    let mut images = ImageCache::default();
    let [a, b, c]: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    images.record_use(&a, 40.0, 100.0, |_| false);
    images.record_use(&b, 40.0, 100.0, |_| false);
    images.record_use(&a, 40.0, 100.0, |_| false);
    images.record_use(&c, 40.0, 100.0, |_| false);
    let held = |images: &ImageCache| images.names().cloned().collect::<Vec<_>>();
    assert_eq!(held(&images), [a.clone(), c.clone()], "the longest unused goes");
    images.record_use(&b, 40.0, 100.0, |image| *image == a);
    assert_eq!(held(&images), [a, b], "an image in use stays");
}
