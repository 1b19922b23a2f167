package org.knapweedbank.agent;

import java.util.Random;
import org.knapweedbank.model.Resources;
import org.knapweedbank.time.Clock;
import org.knapweedbank.wire.Message;
import org.knapweedbank.worker.Worker;

/**
 * Gives the fault matrix access to the session and task duties, which are package-private. They are
 * assembled as in {@code AgentDaemon}, without its thread and sockets.
 */
public final class AgentTestDriver {
    private final TaskDuty mTaskDuty;
    private final SessionDuty mSessionDuty;
    private final ConfigState mConfig;
    private final PermitCheck mPermitCheck;

    /** A connection to an entry. */
    public interface Link {
        boolean send(Message message);

        void close(String reason);
    }

    /** Receives the events of a connection. */
    public interface LinkEvents {
        void opened(Link link);

        void failed(String reason);

        void message(Message message);

        void closed();
    }

    /** Opens connections. */
    public interface Connector {
        void connect(String address, LinkEvents events);
    }

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
        TaskLedger ledger = new TaskLedger(ledgerCapacity, clock);
        mPermitCheck = new PermitCheck(clock);
        SessionTimer timer = new SessionTimer(clock);
        mConfig = new ConfigState(settings.dataCentre());
        mTaskDuty =
                new TaskDuty(
                        ledger,
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
                        ledger,
                        mPermitCheck,
                        timer,
                        mConfig,
                        mTaskDuty,
                        new UsageFeed(worker, clock, directExecutor),
                        new Backoff(new Random(seed)),
                        generation -> {});
    }

    public void step() {
        mTaskDuty.step();
        mSessionDuty.step();
    }

    public long generation() {
        return mConfig.generation();
    }

    private SessionDuty sessionDuty() {
        return mSessionDuty;
    }

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
