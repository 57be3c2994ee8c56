//! The leader's estimate of the images in a machine's cache, from the tasks that were bound
//! to the machine.

use std::sync::Arc;

/// An image in the cache.
#[derive(Debug)]
struct CachedImage {
    name: Arc<str>,
    size_gb: f64,
}

/// The images that a machine is assumed to hold, the most recently used last.
#[derive(Debug, Default)]
pub struct ImageCache {
    images: Vec<CachedImage>,
}

impl ImageCache {
    /// Records that a task uses an image of `image_gb` gigabytes. If the cache then exceeds
    /// `cache_gb`, images are evicted, the least recently used first. Images in use by tasks
    /// on the machine (`is_used`) are not evicted.
    pub fn record_use(
        &mut self,
        image: &Arc<str>,
        image_gb: f64,
        cache_gb: f64,
        is_used: impl Fn(&Arc<str>) -> bool,
    ) {
        // Skips the repeated update when hundreds of tasks of one array are bound in a row.
        if self.images.last().is_some_and(|latest| latest.name == *image) {
            return;
        }
        self.images.retain(|cached| cached.name != *image);
        self.images.push(CachedImage { name: image.clone(), size_gb: image_gb });
        let mut excess_gb = self.images.iter().map(|cached| cached.size_gb).sum::<f64>() - cache_gb;
        self.images.retain(|cached| {
            let evicted = excess_gb > 0.0 && cached.name != *image && !is_used(&cached.name);
            excess_gb -= if evicted { cached.size_gb } else { 0.0 };
            !evicted
        });
    }

    /// The names of the images, the most recently used last.
    pub fn names(&self) -> impl Iterator<Item = &Arc<str>> {
        self.images.iter().map(|cached| &cached.name)
    }
}

#[cfg(test)]
mod tests;
