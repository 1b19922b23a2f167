/** Jobs of several steps: what callers submit, what VMs report, and the codec of stored jobs. */
package org.knapweedbank.jobs;
