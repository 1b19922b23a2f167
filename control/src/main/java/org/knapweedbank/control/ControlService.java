package org.knapweedbank.control;

import org.knapweedbank.wire.Message;
import org.knapweedbank.wire.SessionOpen;

/**
 * Receives the control messages of agents. The methods are called on event loops and do not block;
 * the messages are handled on the control thread.
 */
public interface ControlService {
    /**
     * Handles an agent's request for a session. The reply is sent over the agent's connection: a
     * grant, or a redirect to the owner of the VM's partition.
     *
     * @param session connection of the agent
     * @param open session request of the agent
     */
    void onSessionOpen(AgentControlConnection session, SessionOpen open);

    /**
     * Handles any other message of an agent, such as a heartbeat, a task list, a task report or a
     * configuration confirmation.
     *
     * @param session connection of the agent
     * @param message message from the agent
     */
    void onMessage(AgentControlConnection session, Message message);

    /**
     * Handles the end of an agent's connection.
     *
     * @param session connection that has ended
     */
    void onSessionClosed(AgentControlConnection session);
}
