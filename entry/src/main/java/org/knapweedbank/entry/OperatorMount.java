package org.knapweedbank.entry;

import io.vertx.ext.web.Router;
import org.knapweedbank.entry.operator.DaemonDirectory;
import org.knapweedbank.entry.operator.OperatorForwarder;

/** Mounts the operator routes on the operator listener. */
@FunctionalInterface
public interface OperatorMount {
    /**
     * Mounts the routes.
     *
     * @param router router of the operator listener
     * @param directory all daemons
     * @param forwarder links to the other entries
     * @return answers the requests that other entries forward
     */
    OperatorCallHandler mount(
            Router router, DaemonDirectory directory, OperatorForwarder forwarder);
}
