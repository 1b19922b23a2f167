/** Operator HTTP: authenticated routes for configuration, data centres, jobs and status. */
package org.knapweedbank.entry.operator;
