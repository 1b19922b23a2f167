package org.knapweedbank.entry;

import io.vertx.ext.web.Router;
import org.knapweedbank.entry.operator.DaemonDirectory;
import org.knapweedbank.entry.operator.OperatorForwarder;

/** Adds the operator routes to the router of the operator listener. */
@FunctionalInterface
public interface OperatorMount {
    /**
     * Adds the routes to a router.
     *
     * @param router router of the operator listener
     * @param directory directory of all daemons
     * @param forwarder forwards requests to other entries
     * @return handler of the requests that other entries forward
     */
    OperatorCallHandler mount(
            Router router, DaemonDirectory directory, OperatorForwarder forwarder);
}
