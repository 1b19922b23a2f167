/**
 * Agent role of the daemon: runs the tasks of one worker VM and forwards requests to the VM's
 * upstreams.
 */
package org.knapweedbank.agent;
