package org.knapweedbank.control;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.Message;

/** Control connection of an agent, implemented by the frame listener of the entry. */
public interface AgentControlConnection {
    /**
     * Returns the identifier of the agent.
     *
     * @return the identifier
     */
    DaemonId agent();

    /**
     * Returns the incarnation of the agent, which increases with each start of the agent.
     *
     * @return the incarnation
     */
    long incarnation();

    /**
     * Returns the data centre of the agent.
     *
     * @return the data centre
     */
    DataCentreId dataCentre();

    /**
     * Sends a message to the agent. This method is thread-safe; a message on a closed connection is
     * dropped.
     *
     * @param message message to send
     */
    void send(Message message);

    /**
     * Notifies the entry that the session was granted, so that the entry publishes the agent's
     * upstreams to other entries.
     *
     * @param partition partition of the agent's VM
     * @param epoch epoch of the partition's owner
     */
    void onSessionGranted(int partition, long epoch);

    /**
     * Closes the connection.
     *
     * @param reason short reason, sent to the agent in a Goodbye
     */
    void close(String reason);
}
