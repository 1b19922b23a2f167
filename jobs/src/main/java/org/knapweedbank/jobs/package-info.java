/**
 * Model of multi-step jobs: what callers submit, what agents and workers report, and the codec of
 * submissions.
 */
package org.knapweedbank.jobs;
