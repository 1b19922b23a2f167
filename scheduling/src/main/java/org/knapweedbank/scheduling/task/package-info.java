/** Life cycle of a task: states, events and the transition function. */
package org.knapweedbank.scheduling.task;
