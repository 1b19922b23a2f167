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
public final class AgentSeam {
    private final TaskDuty mTasks;
    private final SessionDuty mSession;
    private final ConfigState mConfig;
    private final PermitCheck mPermits;

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
    public interface Dialler {
        void dial(String address, LinkEvents events);
    }

    public AgentSeam(
            AgentSettings settings,
            Resources ledgerCapacity,
            Clock clock,
            Worker worker,
            Dialler dialler,
            long seed) {
        DutyExecutor direct =
                event -> {
                    event.run();
                    return true;
                };
        TaskLedger ledger = new TaskLedger(ledgerCapacity, clock);
        mPermits = new PermitCheck(clock);
        SessionTimer timer = new SessionTimer(clock);
        mConfig = new ConfigState(settings.dataCentre());
        mTasks =
                new TaskDuty(
                        ledger,
                        worker,
                        mPermits,
                        timer,
                        mConfig,
                        clock,
                        direct,
                        report -> session().report(report));
        mSession =
                new SessionDuty(
                        settings,
                        clock,
                        (address, listener) -> dialler.dial(address, events(listener)),
                        ledger,
                        mPermits,
                        timer,
                        mConfig,
                        mTasks,
                        new UsageFeed(worker, clock, direct),
                        new Backoff(new Random(seed)),
                        generation -> {});
    }

    public void step() {
        mTasks.step();
        mSession.step();
    }

    public long generation() {
        return mConfig.generation();
    }

    private SessionDuty session() {
        return mSession;
    }

    private static LinkEvents events(ControlLinkListener listener) {
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
