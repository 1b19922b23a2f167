package org.knapweedbank.control;

import org.knapweedbank.model.DaemonId;
import org.knapweedbank.model.DataCentreId;
import org.knapweedbank.wire.Message;

/** Control connection of an agent, as the entry's frame listener presents it. */
public interface AgentSession {
    /**
     * The agent.
     *
     * @return its identifier
     */
    DaemonId agent();

    /**
     * Start number of the agent.
     *
     * @return the incarnation
     */
    long incarnation();

    /**
     * Data centre of the agent.
     *
     * @return the data centre
     */
    DataCentreId dataCentre();

    /**
     * Sends a message; may be called from any thread. A message on a closed connection is dropped.
     *
     * @param message the message
     */
    void send(Message message);

    /**
     * Tells the entry that the session was granted, so that it relays the agent's upstreams.
     *
     * @param partition partition of the VM
     * @param epoch epoch of the owner
     */
    void granted(int partition, long epoch);

    /**
     * Ends the connection.
     *
     * @param reason short reason for the log
     */
    void close(String reason);
}
