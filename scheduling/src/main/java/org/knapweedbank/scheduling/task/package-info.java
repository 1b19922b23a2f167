/** Task life cycle: states, events and the transition function. */
package org.knapweedbank.scheduling.task;
