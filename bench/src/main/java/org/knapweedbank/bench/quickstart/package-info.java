/** A small deployment on loopback that shows the product at work and checks its invariants. */
package org.knapweedbank.bench.quickstart;
