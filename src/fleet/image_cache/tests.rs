use super::*;

#[test]
fn least_recently_used_images_beyond_the_cache_size_are_evicted() {
    let mut images = ImageCache::default();
    let [a, b, c]: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    images.record_use(&a, 40.0, 100.0, |_| false);
    images.record_use(&b, 40.0, 100.0, |_| false);
    images.record_use(&a, 40.0, 100.0, |_| false);
    images.record_use(&c, 40.0, 100.0, |_| false);
    let image_names = |images: &ImageCache| images.names().cloned().collect::<Vec<_>>();
    assert_eq!(image_names(&images), [a.clone(), c.clone()], "the least recently used is evicted");
    images.record_use(&b, 40.0, 100.0, |image| *image == a);
    assert_eq!(image_names(&images), [a, b], "an image in use is not evicted");
}
