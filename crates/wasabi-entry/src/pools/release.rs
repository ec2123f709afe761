//! Grants on their way back to the owners at which they count.

use std::{rc::Rc, time::Duration};

use jsonrpsee::rpc_params;
use wasabi_protocol::{
    id,
    rpc::{Release, method},
};
use wasabi_scheduler::pool::Event;

use crate::{pools::owner, shell::Shell};

/// Times that a release is sent. The owner may change in between.
const TRIES: u32 = 3;

/// Time between two tries.
const PAUSE: Duration = Duration::from_millis(50);

impl Shell {
    /// Gives a grant back to the pool's owner, and to the entry that gave it if that is another one: it
    /// may still own the pool for others, and counts the grant until after the request's deadline.
    pub(crate) fn release(self: &Rc<Self>, release: Release) {
        self.holder.borrow_mut().release(release.attempt);
        if self.is_owner(&release.pool) {
            self.release_to_giver(&release);
            self.release_here(release);
            return;
        }
        if self.asked_of(&release.pool).as_ref() != Some(&release.owner) {
            self.release_to_giver(&release);
        }
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            for _ in 0..TRIES {
                if shell.is_owner(&release.pool) {
                    shell.release_here(release);
                    return;
                }
                if let Some(owner) = shell.asked_of(&release.pool)
                    && shell.call(&owner, method::RELEASE, rpc_params![&release]).await
                {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
            tracing::warn!(pool = %release.pool, attempt = %release.attempt, "release is lost");
        });
    }

    /// Tells the pool owned here that a grant ended.
    pub(crate) fn release_here(self: &Rc<Self>, release: Release) {
        let (now, pool) = (self.now(), release.pool.clone());
        let effects = self.pools.borrow_mut().step(now, &pool, Event::Release(release));
        self.perform(effects);
    }

    /// Tells an owner that a call for a grant was dropped before it was answered: its grant arrives
    /// nowhere. The message is small and sent once, since the owner may be busy or gone.
    pub(crate) fn call_dropped(
        self: &Rc<Self>,
        pool: &id::Pool,
        owner: id::Entry,
        attempt: id::Attempt,
    ) {
        let release = owner::abandoned(pool.clone(), owner.clone(), attempt);
        self.tell(owner, method::RELEASE, rpc_params![release]);
    }

    fn release_to_giver(self: &Rc<Self>, release: &Release) {
        let (shell, release) = (Rc::clone(self), release.clone());
        if release.owner == self.shared.entry.name {
            return;
        }
        actix_rt::spawn(async move {
            for _ in 0..TRIES {
                if shell.call(&release.owner, method::RELEASE, rpc_params![&release]).await {
                    return;
                }
                tokio::time::sleep(PAUSE).await;
            }
            tracing::debug!(giver = %release.owner, attempt = %release.attempt, "release is lost");
        });
    }
}
