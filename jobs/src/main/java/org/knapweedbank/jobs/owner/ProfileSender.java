package org.knapweedbank.jobs.owner;

import org.knapweedbank.jobs.RunProfile;

/** Sends the agents the profiles by which they share the processor time of their VMs. */
final class ProfileSender {
    /** Minimum relative change of a filler's rank that is sent to its agent. */
    private static final double MIN_RANK_CHANGE = 0.1;

    private final OwnerState mState;

    ProfileSender(OwnerState state) {
        mState = state;
    }

    void sendProfile(Run run) {
        var spec = run.mTask.mStep.mSpec;
        if (spec.traits().filler() || spec.serving()) {
            sendProfile(run, mState.runProfile(run));
        }
    }

    private void sendProfile(Run run, RunProfile profile) {
        run.mReportedRank = profile.rank();
        mState.mOutput.sendProfile(run.mVm.mAgent, run.mTask.mName, run.mNumber, profile);
    }

    /**
     * Sends the profiles of fillers whose rank has changed considerably to the agent of their VM.
     */
    void sendChangedRanks(Vm vm) {
        for (Run run : vm.mRuns.values()) {
            if (!run.mTask.mStep.mSpec.traits().filler()) {
                continue;
            }
            RunProfile profile = mState.runProfile(run);
            if (rankDiffers(profile.rank(), run.mReportedRank)) {
                sendProfile(run, profile);
            }
        }
    }

    private static boolean rankDiffers(double rank, double reportedRank) {
        return Math.abs(rank - reportedRank) > MIN_RANK_CHANGE * reportedRank;
    }
}
