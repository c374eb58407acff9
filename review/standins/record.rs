//! The record of a run, and the check of the rule `ran_twice`.

use std::collections::{BTreeMap, BTreeSet};
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

struct Inner {
    file: std::fs::File,
    /// The machines on which each task is now.
    on: BTreeMap<String, BTreeSet<String>>,
    broken: Vec<String>,
    closed: bool,
}

pub struct Record {
    start: Instant,
    inner: Mutex<Inner>,
}

impl Record {
    pub fn new(path: &std::path::Path) -> std::io::Result<Record> {
        let file = std::fs::File::create(path)?;
        Ok(Record {
            start: Instant::now(),
            inner: Mutex::new(Inner { file, on: BTreeMap::new(), broken: Vec::new(), closed: false }),
        })
    }
    pub fn line(&self, text: &str) {
        let mut inner = self.inner.lock().unwrap();
        self.write(&mut inner, text);
    }
    /// Nothing is written from now on.
    pub fn close(&self) {
        self.inner.lock().unwrap().closed = true;
    }
    fn write(&self, inner: &mut Inner, text: &str) {
        if inner.closed {
            return;
        }
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(inner.file, "{at:8.3} {text}");
    }
    /// A task has its image and is on a machine from now on.
    pub fn task_starts(&self, task: &str, attempt: u64, machine: &str) {
        let mut inner = self.inner.lock().unwrap();
        let on = inner.on.entry(task.to_owned()).or_default();
        let elsewhere: Vec<String> = on.iter().filter(|m| *m != machine).cloned().collect();
        on.insert(machine.to_owned());
        self.write(&mut inner, &format!("run: {task} attempt {attempt} starts on {machine}"));
        if !elsewhere.is_empty() {
            let text = format!("BROKEN ran_twice: {task} starts on {machine} while it is on {}", elsewhere.join(", "));
            self.write(&mut inner, &text);
            inner.broken.push(text);
        }
    }
    /// A task is no longer on a machine.
    pub fn task_gone(&self, task: &str, attempt: u64, machine: &str, why: &str) {
        let mut inner = self.inner.lock().unwrap();
        if inner.on.get_mut(task).is_some_and(|on| on.remove(machine)) {
            self.write(&mut inner, &format!("run: {task} attempt {attempt} is gone from {machine}: {why}"));
        }
    }
    pub fn broken(&self) -> Vec<String> {
        self.inner.lock().unwrap().broken.clone()
    }
}
