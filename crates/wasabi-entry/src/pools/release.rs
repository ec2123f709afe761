//! Releases grants at the owners that count them.

use std::{rc::Rc, time::Duration};

use jsonrpsee::rpc_params;
use wasabi_protocol::{
    id,
    rpc::{Release, method},
};
use wasabi_scheduler::pool::Event;

use crate::{pools::owner, shell::Shell};

/// Number of times that a release is sent. The owner may change in between.
const SENDS_MAX: u32 = 3;

/// Delay before a release is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(50);

impl Shell {
    /// Releases a grant at the pool's owner, and at the entry that granted it if that is another one:
    /// other entries may still consider that one the owner, and it counts the grant until after the
    /// request's deadline.
    pub(crate) fn release(self: &Rc<Self>, release: Release) {
        self.holder.borrow_mut().release(release.attempt);
        if self.is_owner(&release.pool) {
            self.release_to_granter(&release);
            self.release_local(release);
            return;
        }
        if self.owner_to_call(&release.pool).as_ref() != Some(&release.owner) {
            self.release_to_granter(&release);
        }
        let shell = Rc::clone(self);
        actix_rt::spawn(async move {
            for _ in 0..SENDS_MAX {
                if shell.is_owner(&release.pool) {
                    shell.release_local(release);
                    return;
                }
                if let Some(owner) = shell.owner_to_call(&release.pool)
                    && shell.call(&owner, method::RELEASE, rpc_params![&release]).await
                {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            tracing::warn!(
                pool = %release.pool,
                attempt = %release.attempt,
                "release not delivered to the pool owner"
            );
        });
    }

    /// Releases a grant at the pool if this entry owns it.
    pub(crate) fn release_local(self: &Rc<Self>, release: Release) {
        let (now, pool) = (self.now(), release.pool.clone());
        let effects = self.pools.borrow_mut().step(now, &pool, Event::Release(release));
        self.perform(effects);
    }

    /// Notifies an owner that a call for a grant was dropped before it was answered, so that its grant
    /// would reach nobody. The message is sent once, since the owner may be overloaded or down.
    pub(crate) fn notify_call_dropped(
        self: &Rc<Self>,
        pool: &id::Pool,
        owner: id::Entry,
        attempt: id::Attempt,
    ) {
        let release = owner::abandoned_release(pool.clone(), owner.clone(), attempt);
        self.notify(owner, method::RELEASE, rpc_params![release]);
    }

    fn release_to_granter(self: &Rc<Self>, release: &Release) {
        let (shell, release) = (Rc::clone(self), release.clone());
        if release.owner == self.shared.entry.name {
            return;
        }
        actix_rt::spawn(async move {
            for _ in 0..SENDS_MAX {
                if shell.call(&release.owner, method::RELEASE, rpc_params![&release]).await {
                    return;
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
            tracing::debug!(
                giver = %release.owner,
                attempt = %release.attempt,
                "release not delivered to the entry that granted it"
            );
        });
    }
}
