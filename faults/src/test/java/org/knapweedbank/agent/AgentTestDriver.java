package org.knapweedbank.agent;

import java.util.Random;
import org.knapweedbank.model.Resources;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Message;
import org.knapweedbank.worker.Worker;

/**
 * Gives the fault matrix access to the package-private session and task duties of an agent. They
 * are assembled as in {@code AgentDaemon}, but without its thread and sockets; the caller runs
 * their steps.
 */
public final class AgentTestDriver {
    private final TaskDuty mTaskDuty;
    private final SessionDuty mSessionDuty;
    private final ConfigState mConfig;
    private final PermitCheck mPermitCheck;

    /** Sends messages over a control connection to an entry. */
    public interface Link {
        /** Sends a message; returns false if the connection is closed. */
        boolean send(Message message);

        /** Closes the connection. */
        void close(String reason);
    }

    /** Receives the events of a control connection. */
    public interface LinkEvents {
        /** Reports that the connection has been established. */
        void opened(Link link);

        /** Reports that the connection could not be established. */
        void failed(String reason);

        /** Reports a message from the entry. */
        void message(Message message);

        /** Reports that an established connection has been closed. */
        void closed();
    }

    /** Opens control connections. */
    public interface Connector {
        /** Opens a connection to an address and reports its events. */
        void connect(String address, LinkEvents events);
    }

    /**
     * Assembles the duties of an agent.
     *
     * @param ledgerCapacity capacity against which the agent checks starts; differs from that of
     *     the settings only to disable the check
     * @param seed seed of the reconnection backoff
     */
    public AgentTestDriver(
            AgentSettings settings,
            Resources ledgerCapacity,
            Clock clock,
            Worker worker,
            Connector connector,
            long seed) {
        DutyExecutor directExecutor =
                event -> {
                    event.run();
                    return true;
                };
        AttemptTable attemptTable = new AttemptTable(ledgerCapacity, clock);
        mPermitCheck = new PermitCheck(clock);
        SessionTimer timer = new SessionTimer(clock);
        mConfig = new ConfigState(settings.dataCentre());
        mTaskDuty =
                new TaskDuty(
                        attemptTable,
                        worker,
                        mPermitCheck,
                        timer,
                        mConfig,
                        clock,
                        directExecutor,
                        report -> sessionDuty().report(report));
        mSessionDuty =
                new SessionDuty(
                        settings,
                        clock,
                        (address, listener) -> connector.connect(address, adaptListener(listener)),
                        attemptTable,
                        mPermitCheck,
                        timer,
                        mConfig,
                        mTaskDuty,
                        new UsageReporter(worker, clock, directExecutor),
                        new Backoff(new Random(seed)),
                        generation -> {});
    }

    /** Runs one step of the task duty and then of the session duty. */
    public void step() {
        mTaskDuty.step();
        mSessionDuty.step();
    }

    /** Returns the configuration generation in force at the agent. */
    public long generation() {
        return mConfig.generation();
    }

    /** Returns the session duty; the task duty needs it before it has been created. */
    private SessionDuty sessionDuty() {
        return mSessionDuty;
    }

    /** Adapts a listener of the agent to the events of the connector. */
    private static LinkEvents adaptListener(ControlLinkListener listener) {
        return new LinkEvents() {
            @Override
            public void opened(Link link) {
                listener.opened(
                        new ControlLink() {
                            @Override
                            public boolean send(Message message) {
                                return link.send(message);
                            }

                            @Override
                            public void close(String reason) {
                                link.close(reason);
                            }
                        });
            }

            @Override
            public void failed(String reason) {
                listener.failed(reason);
            }

            @Override
            public void message(Message message) {
                listener.message(message);
            }

            @Override
            public void closed() {
                listener.closed();
            }
        };
    }
}
