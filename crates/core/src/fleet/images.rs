//! The images that a machine is believed to have.

use std::collections::VecDeque;

/// An image and its size.
#[derive(Clone, Debug)]
struct Image {
    name: String,
    size_gb: f64,
}

/// Images believed to be cached, the most recently used last; a machine drops those that were not used for the
/// longest time.
#[derive(Clone, Debug, Default)]
pub(crate) struct ImageCache {
    images: VecDeque<Image>,
    capacity_gb: f64,
}

impl ImageCache {
    /// How much the machine's type has room for.
    pub fn resize(&mut self, room_gb: f64) {
        self.capacity_gb = room_gb;
    }

    pub fn contains(&self, name: &str) -> bool {
        self.images.iter().any(|image| image.name == name)
    }

    /// A task of the machine runs with this image.
    pub fn mark_used(&mut self, name: &str, size_gb: f64) {
        self.images.retain(|image| image.name != name);
        self.images.push_back(Image { name: name.to_owned(), size_gb });
        while self.images.len() > 1 && self.size_gb() > self.capacity_gb {
            self.images.pop_front();
        }
    }

    /// The worker began anew.
    pub fn clear(&mut self) {
        self.images.clear();
    }

    fn size_gb(&self) -> f64 {
        self.images.iter().map(|image| image.size_gb).sum()
    }
}
