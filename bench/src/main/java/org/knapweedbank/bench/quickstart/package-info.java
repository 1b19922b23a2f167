/** A program that runs a small deployment on loopback under load and checks its invariants. */
package org.knapweedbank.bench.quickstart;
