//! Which images a machine holds, as far as the leader placed their tasks.

use std::sync::Arc;

/// An image that a machine holds.
#[derive(Debug)]
struct CachedImage {
    name: Arc<str>,
    size_gb: f64,
}

/// The images that a machine holds, the most recently used last.
#[derive(Debug, Default)]
pub struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Records that a task uses an image of `gb` gigabytes. What then no longer fits the
    /// cache of `cache_gb` is evicted, the least recently used first, but not what tasks
    /// here use.
    pub fn record_use(
        &mut self,
        image: &Arc<str>,
        gb: f64,
        cache_gb: f64,
        used: impl Fn(&Arc<str>) -> bool,
    ) {
        // Tasks of one array come to a machine by the hundred.
        if self.images.last().is_some_and(|latest| latest.name == *image) {
            return;
        }
        self.images.retain(|held| held.name != *image);
        self.images.push(CachedImage { name: image.clone(), size_gb: gb });
        let mut over = self.images.iter().map(|held| held.size_gb).sum::<f64>() - cache_gb;
        self.images.retain(|held| {
            let evicted = over > 0.0 && held.name != *image && !used(&held.name);
            over -= if evicted { held.size_gb } else { 0.0 };
            !evicted
        });
    }

    /// The names of the images, the most recently used last.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.images.iter().map(|held| &held.name)
    }
}

#[cfg(test)]
mod tests;
