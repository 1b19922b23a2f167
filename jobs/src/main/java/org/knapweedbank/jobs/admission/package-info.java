/**
 * Admission of new jobs under overload. Pure decisions without I/O; work in core-milliseconds,
 * times in monotonic milliseconds.
 */
package org.knapweedbank.jobs.admission;
