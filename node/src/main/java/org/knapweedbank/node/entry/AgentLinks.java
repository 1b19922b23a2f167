package org.knapweedbank.node.entry;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.knapweedbank.jobs.DecisionLog;
import org.knapweedbank.jobs.RunProfile;
import org.knapweedbank.jobs.StartOrder;
import org.knapweedbank.jobs.TaskName;
import org.knapweedbank.jobs.owner.JobOwner;
import org.knapweedbank.jobs.owner.OwnerOutput;
import org.knapweedbank.model.DaemonId;
import org.knapweedbank.node.link.Link;
import org.knapweedbank.node.link.NodeMessage;
import org.knapweedbank.time.Clock;

/** The owner's links to the agents, the newest of each, on which it sends its orders. */
final class AgentLinks implements OwnerOutput {
    private final Clock mClock;
    private final DecisionLog mLog;
    private final Runnable mOnInput;
    private final Map<DaemonId, AgentLink> mLinks = new HashMap<>();

    /** Start time of each agent's process, by which a restart of the agent is detected. */
    private final Map<DaemonId, Long> mProcessStarts = new HashMap<>();

    /** Owner that the agents report to; null until the records are loaded. */
    private JobOwner mOwner;

    private boolean mStopped;

    /**
     * Creates the set of links, with none.
     *
     * @param onInput runs when an agent has reported what may allow a start
     */
    AgentLinks(Clock clock, DecisionLog log, Runnable onInput) {
        mClock = clock;
        mLog = log;
        mOnInput = onInput;
    }

    void setOwner(JobOwner owner) {
        mOwner = owner;
    }

    /** Adds a new link of an agent, which replaces an earlier one. */
    AgentLink add(Link link, NodeMessage.AgentHello hello) {
        AgentLink agent = new AgentLink(mClock, mLog, this, mOnInput, link, hello);
        AgentLink previous = mLinks.put(hello.agent(), agent);
        if (previous != null) {
            previous.close("replaced by a newer link of the same agent");
            mOwner.handleDisconnect(hello.agent());
        }
        return agent;
    }

    /** Handles that a link is closed. */
    void remove(AgentLink link, String reason) {
        if (mLinks.remove(link.agent(), link)) {
            mLog.record("agent.lost", link.agent().value(), "cause", reason);
            if (mOwner != null) {
                mOwner.handleDisconnect(link.agent());
            }
        }
    }

    /** Answers the pings that could not be answered when they came. */
    void answerLatestPings() {
        List.copyOf(mLinks.values()).forEach(AgentLink::answerLatestPing);
    }

    /** Closes all links and ignores what was received on them. */
    void stop(String reason) {
        mStopped = true;
        List.copyOf(mLinks.values()).forEach(agent -> agent.close(reason));
    }

    /** Returns whether messages on a link are handled. */
    boolean isCurrent(AgentLink link) {
        return !mStopped && mLinks.get(link.agent()) == link;
    }

    JobOwner owner() {
        return mOwner;
    }

    /** Returns whether the process of an agent has reported before, and records that it has. */
    boolean recordProcess(DaemonId agent, long startMillis) {
        Long knownStart = mProcessStarts.put(agent, startMillis);
        return knownStart != null && knownStart == startMillis;
    }

    @Override
    public void start(DaemonId agent, StartOrder order) {
        AgentLink link = mLinks.get(agent);
        if (link != null) {
            link.sendStart(order);
        }
    }

    @Override
    public void stop(DaemonId agent, TaskName task, long run) {
        send(agent, new NodeMessage.Stop(task, run));
    }

    @Override
    public void sendProfile(DaemonId agent, TaskName task, long run, RunProfile profile) {
        send(agent, new NodeMessage.Describe(task, run, profile));
    }

    @Override
    public void acknowledgeEnds(DaemonId agent, long number) {
        AgentLink link = mLinks.get(agent);
        if (link != null) {
            link.acknowledgeEnds(number);
        }
    }

    private void send(DaemonId agent, NodeMessage message) {
        AgentLink link = mLinks.get(agent);
        if (link != null) {
            link.send(message);
        }
    }
}
