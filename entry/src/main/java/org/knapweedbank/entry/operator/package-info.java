/** HTTP routes for operators: configuration, data centres, jobs, audit records and status. */
package org.knapweedbank.entry.operator;
