//! Processing of the answers of holders in a round.

use kumquatnotch_core::{Error, Result, answer::GroupAnswer, ids::ShardName};

use crate::{
    gather::{Gather, Part},
    plan::GoneShards,
};

impl Gather<'_> {
    /// Processes the answer of a part; an error ends the search.
    pub(crate) fn handle_answer(
        &mut self,
        part: Part,
        result: Result<GroupAnswer>,
        gone: &mut GoneShards,
    ) -> Result<()> {
        let search = self.search;
        let answer = match result {
            Ok(answer) => answer,
            Err(error) => {
                search.record_refusal(&error);
                for shard in part.shards.clone() {
                    self.handle_refusal(&part, shard, &error, gone)?;
                }
                self.give_up_if_starved(&part, &error)?;
                self.on_canary_result(part.canary, false);
                return Ok(());
            }
        };
        search.record_answer(&answer);
        let ran = !answer.covered.is_empty();
        for shard in &answer.covered {
            if self.waiting.remove(shard) {
                self.covered += 1;
            }
        }
        self.hits.extend(answer.hits);
        for fault in answer.missing {
            self.handle_fault(&part, fault.shard, fault.error, gone)?;
        }
        // A shard in neither list must still be listed as missing.
        for shard in part.shards {
            self.fail(shard, Error::protocol("the answer of the holder omits the shard"));
        }
        self.on_canary_result(part.canary, ran);
        Ok(())
    }

    /// Ends the search if a holder refused its part and the rest cannot reach enough
    /// coverage.
    ///
    /// Otherwise the other groups would spend slots on an answer with too little
    /// coverage for its tenant, which under overload leaves less capacity for answers
    /// that could be complete. A part may have run, so the error must not mean "not
    /// run".
    fn give_up_if_starved(&self, part: &Part, error: &Error) -> Result<()> {
        // A single overloaded shard is no evidence about the others, but an overloaded
        // group is.
        let &Error::Overloaded { retry_ms } = error else {
            return Ok(());
        };
        let search = self.search;
        let progress = self.progress(search.clock.now());
        let has_run = self.covered > 0 || !self.pending.is_empty();
        if part.canary || !has_run || search.stop_rule.can_suffice(&search.stop, &progress) {
            return Ok(());
        }
        Err(Error::GivenUp { retry_ms })
    }

    /// Handles one shard of a part for which the holder returned an error.
    fn handle_refusal(
        &mut self,
        part: &Part,
        shard: ShardName,
        error: &Error,
        gone: &mut GoneShards,
    ) -> Result<()> {
        // A broken connection to a holder is no evidence about the request.
        if *error != Error::ConnectionLost {
            return self.handle_fault(part, shard, error.clone(), gone);
        }
        self.fail(shard, error.clone());
        Ok(())
    }

    /// Handles a shard that a holder could not answer for.
    fn handle_fault(
        &mut self,
        part: &Part,
        shard: ShardName,
        error: Error,
        gone: &mut GoneShards,
    ) -> Result<()> {
        match &error {
            // The canary shard failed as it does for a request that crashes targets.
            // Sending the request to the other shards could crash them too.
            Error::Contained { .. } | Error::ConnectionLost
                if part.canary && self.held_back.is_some() =>
            {
                return Err(error);
            }
            // Holders have identified the request as crash-causing by now. It has run
            // on other shards, so "not run" would be false.
            Error::Contained { retry_ms } => {
                let detail = format!("the request crashes targets; refused for {retry_ms} ms");
                return Err(Error::TargetFailed { detail });
            }
            Error::VersionGone { .. } => {
                gone.insert((self.plan.version, shard.clone()));
            }
            Error::TimedOut | Error::ExpiredInQueue if !self.followed_up => {
                if self.waiting.remove(&shard) {
                    self.late.push((shard, error));
                }
                return Ok(());
            }
            _ => {}
        }
        self.fail(shard, error);
        Ok(())
    }

    fn fail(&mut self, shard: ShardName, error: Error) {
        if self.waiting.remove(&shard) {
            self.failed_shards.push((shard, error));
        }
    }
}
