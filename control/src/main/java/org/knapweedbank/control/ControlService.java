package org.knapweedbank.control;

import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.SessionOpen;

/**
 * Receives the control messages of agents. Calls come from event loops and return at once; the work
 * is done on the thread of the control duty.
 */
public interface ControlService {
    /**
     * An agent asks for a session. The answer is sent through the session: a grant, or a redirect
     * to the owner of the VM's partition.
     *
     * @param session connection of the agent
     * @param open the request
     */
    void opened(AgentSession session, SessionOpen open);

    /**
     * A heartbeat, task list, task report or configuration confirmation has arrived.
     *
     * @param session connection of the agent
     * @param message the message
     */
    void received(AgentSession session, Message message);

    /**
     * The connection of an agent has ended.
     *
     * @param session the connection
     */
    void closed(AgentSession session);
}
