//! The container images that a machine is assumed to have in its cache.

use std::collections::VecDeque;

/// An image and its size.
#[derive(Clone, Debug)]
struct Image {
    name: String,
    size_gb: f64,
}

/// Images assumed to be cached, the most recently used last. A machine evicts the least recently used one.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImageCache {
    images: VecDeque<Image>,
    capacity_gb: f64,
}

impl ImageCache {
    /// Sets the cache size of the machine's type.
    pub fn resize(&mut self, capacity_gb: f64) {
        self.capacity_gb = capacity_gb;
    }

    /// Whether the image is assumed to be cached.
    pub fn contains(&self, name: &str) -> bool {
        self.images.iter().any(|image| image.name == name)
    }

    /// Notes that a task of the machine runs with this image.
    pub fn mark_used(&mut self, name: &str, size_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push_back(Image { name: name.to_owned(), size_gb });
        while self.images.len() > 1 && self.size_gb() > self.capacity_gb {
            self.images.pop_front();
        }
    }

    /// Forgets all images, after a restart of the worker.
    pub fn clear(&mut self) {
        self.images.clear();
    }

    /// Total size of the cached images.
    fn size_gb(&self) -> f64 {
        self.images.iter().map(|image| image.size_gb).sum()
    }
}
