//! The replicas' processes, by their places in the fleet. The one in a place may be replaced
//! by another at another address.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use super::process::Process;

/// One replica.
pub struct Replica {
    /// Its place, which is its failure domain too.
    pub place: usize,
    /// Its number, by which its address and its folder are its own.
    pub number: usize,
    /// Its process.
    pub process: Process,
}

/// All of them.
#[derive(Default)]
pub struct Replicas {
    /// By place.
    members: RefCell<Vec<Rc<Replica>>>,
    /// Started to replace one that is still there.
    coming: RefCell<Vec<Rc<Replica>>>,
    /// Never started again.
    gone: RefCell<Vec<Rc<Replica>>>,
    next: Cell<usize>,
}

impl Replicas {
    /// The number of the next one.
    pub fn number(&self) -> usize {
        self.next.replace(self.next.get() + 1)
    }

    /// Adds one in the next place.
    pub fn add(&self, replica: Replica) {
        self.members.borrow_mut().push(Rc::new(replica));
    }

    /// The one in a place.
    pub fn at(&self, place: usize) -> Rc<Replica> {
        Rc::clone(&self.members.borrow()[place])
    }

    /// Those in their places.
    pub fn members(&self) -> Vec<Rc<Replica>> {
        self.members.borrow().clone()
    }

    /// All that run, or are to be started again.
    pub fn present(&self) -> Vec<Rc<Replica>> {
        let coming = self.coming.borrow();
        self.members().into_iter().chain(coming.clone()).collect()
    }

    /// All that there ever were.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        let gone = self.gone.borrow();
        self.present().into_iter().chain(gone.clone()).collect()
    }

    /// One is there besides the one that it is to replace.
    pub fn come(&self, replica: &Rc<Replica>) {
        self.coming.borrow_mut().push(Rc::clone(replica));
    }

    /// Puts one in its place; the former one is never started again.
    pub fn settle(&self, replica: &Rc<Replica>) -> Rc<Replica> {
        let is_other = |other: &Rc<Replica>| !Rc::ptr_eq(other, replica);
        self.coming.borrow_mut().retain(is_other);
        let mut members = self.members.borrow_mut();
        let former = std::mem::replace(&mut members[replica.place], Rc::clone(replica));
        self.gone.borrow_mut().push(Rc::clone(&former));
        former
    }
}
