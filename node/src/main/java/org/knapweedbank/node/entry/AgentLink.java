package org.knapweedbank.node.entry;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.OrderCoverage;
import org.knapweedbank.jobs.RunStatus;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.WorkerId;
import org.knapweedbank.jobs.WorkerInfo;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.LinkListener;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/** Owner's side of the link to an agent. */
final class AgentLink implements LinkListener {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final AgentLinks mLinks;
    private final Runnable mOnInput;
    private final Link mLink;
    private final NodeMessage.AgentHello mHello;

    /** Worker that the agent has reported on this link; null if there is none. */
    private WorkerId mWorker;

    /** Number of the agent's newest ping, which start orders carry as their permit. */
    private long mLatestPing;

    /** Worker in this ping while it is not answered; empty if there is none. */
    private Optional<WorkerId> mUnansweredWorker = Optional.empty();

    /**
     * False until the first report on this link. Until then no order can be on its way, as those of
     * an earlier link arrived before it was closed, or never.
     */
    private boolean mOrdersPossible;

    private final GrantTimes mGrantTimes = new GrantTimes();

    /** Highest number of an end whose storage was acknowledged on this link. */
    private long mHighestStoredEnd;

    AgentLink(
            Clock clock,
            DecisionLog log,
            AgentLinks links,
            Runnable onInput,
            Link link,
            NodeMessage.AgentHello hello) {
        mClock = clock;
        mLog = log;
        mLinks = links;
        mOnInput = onInput;
        mLink = link;
        mHello = hello;
    }

    DaemonId agent() {
        return mHello.agent();
    }

    void sendStart(StartOrder order) {
        if (mWorker != null) {
            mLink.send(new NodeMessage.Start(mWorker, mLatestPing, order));
        }
    }

    /** Acknowledges that all ends up to a number are stored. */
    void acknowledgeEnds(long number) {
        if (mWorker != null && number > mHighestStoredEnd) {
            mHighestStoredEnd = number;
            mLink.send(new NodeMessage.EndsStored(mWorker, number));
        }
    }

    void send(NodeMessage message) {
        mLink.send(message);
    }

    void close(String reason) {
        mLink.close(reason);
    }

    @Override
    public void received(NodeMessage message) {
        if (!mLinks.isCurrent(this)) {
            return;
        }
        JobOwner owner = mLinks.owner();
        switch (message) {
            case NodeMessage.Ping ping -> handlePing(ping);
            case NodeMessage.Report report -> handleReport(report);
            case NodeMessage.Progress progress -> handleProgress(progress);
            case NodeMessage.Ends ends -> {
                owner.handleEndedRuns(mHello.agent(), ends.worker(), ends.ends());
                mOnInput.run();
            }
            case NodeMessage.Outcome outcome -> {
                owner.handleStartOutcome(
                        mHello.agent(), outcome.task(), outcome.run(), outcome.outcome());
                mOnInput.run();
            }
            case NodeMessage.WorkerUpdate update ->
                    owner.handleWorkerUpdate(mHello.agent(), update.worker());
            case NodeMessage.NoWorker statement -> {
                mWorker = null;
                owner.handleNoWorker(mHello.agent(), statement.reason());
                mOnInput.run();
            }
            default ->
                    mLog.record(
                            "owner.unexpected",
                            mHello.agent().value(),
                            "message",
                            message.getClass().getSimpleName());
        }
    }

    @Override
    public void closed(String reason) {
        mLinks.remove(this, reason);
    }

    private void handlePing(NodeMessage.Ping ping) {
        mLatestPing = ping.number();
        mUnansweredWorker = ping.worker();
        if (ping.worker().isEmpty()) {
            mLinks.owner().handleSilentWorker(mHello.agent());
        }
        answerLatestPing();
    }

    /** Answers the latest ping, unless it is answered or the owner may not answer it yet. */
    void answerLatestPing() {
        mUnansweredWorker.ifPresent(this::answerLatestPing);
    }

    private void answerLatestPing(WorkerId worker) {
        JobOwner owner = mLinks.owner();
        if (owner.grantAuthority(mHello.agent(), worker)) {
            mUnansweredWorker = Optional.empty();
            mGrantTimes.add(mLatestPing, mClock.monotonicMillis());
            mLink.send(new NodeMessage.Pong(mLatestPing));
        } else if (worker.equals(mWorker) && owner.hasLostWorker(mHello.agent())) {
            mLink.close("the worker was given up and has to be reported again");
        } else {
            mOnInput.run();
        }
    }

    /** Returns the orders that lists account for which were requested after a grant. */
    private OrderCoverage coverage(long grant) {
        OptionalLong sentAtMillis = mGrantTimes.sentAtMillis(grant);
        return sentAtMillis.isPresent()
                ? new OrderCoverage.ListsRequestedAfter(sentAtMillis.getAsLong())
                : new OrderCoverage.NoOrders();
    }

    private void handleProgress(NodeMessage.Progress message) {
        JobOwner owner = mLinks.owner();
        List<RunStatus> released =
                owner.releaseMissing(mHello.agent(), message.worker(), message.missing());
        owner.handleProgress(
                mHello.agent(),
                message.worker(),
                without(released, message.starting()),
                without(released, message.running()),
                coverage(message.grant()));
        if (!released.isEmpty()) {
            mOnInput.run();
        }
    }

    private static List<RunStatus> without(List<RunStatus> released, List<RunStatus> runs) {
        return released.isEmpty()
                ? runs
                : runs.stream().filter(run -> !released.contains(run)).toList();
    }

    private void handleReport(NodeMessage.Report message) {
        boolean sameProcess = mLinks.recordProcess(mHello.agent(), mHello.processStartMillis());
        OrderCoverage coverage =
                sameProcess && !mOrdersPossible
                        ? new OrderCoverage.AllOrders()
                        : coverage(message.grant());
        mOrdersPossible = true;
        mWorker = message.report().worker().map(WorkerInfo::id).orElse(null);
        mHighestStoredEnd = 0;
        mLinks.owner()
                .handleReport(mHello.agent(), mHello.dataCentre(), message.report(), coverage);
        if (mWorker != null) {
            mUnansweredWorker = Optional.of(mWorker);
            answerLatestPing();
        }
        mOnInput.run();
    }
}
