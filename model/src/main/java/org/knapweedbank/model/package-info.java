/** Identifiers, job specifications, resource amounts and request outcomes used by all modules. */
package org.knapweedbank.model;
