//! Which images a machine holds, as far as the leader placed their tasks.

use std::sync::Arc;

/// The images that a machine holds with their sizes in GB, the latest used last.
#[derive(Debug, Default)]
pub struct ImageCache(Vec<(Arc<str>, f64)>);

impl ImageCache {
    /// Notes that a task uses an image. What then no longer fits the cache is
    /// gone, the longest unused first, but not what tasks here use.
    pub fn note(
        &mut self,
        image: &Arc<str>,
        gb: f64,
        cache_gb: f64,
        used: impl Fn(&Arc<str>) -> bool,
    ) {
        // Tasks of one array come to a machine by the hundred.
        if self.0.last().is_some_and(|(latest, _)| latest == image) {
            return;
        }
        self.0.retain(|(held, _)| held != image);
        self.0.push((image.clone(), gb));
        let mut over = self.0.iter().map(|(_, gb)| gb).sum::<f64>() - cache_gb;
        self.0.retain(|(held, gb)| {
            let goes = over > 0.0 && held != image && !used(held);
            over -= if goes { *gb } else { 0.0 };
            !goes
        });
    }

    /// The names of the images, the latest used last.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.0.iter().map(|(image, _)| image)
    }
}
