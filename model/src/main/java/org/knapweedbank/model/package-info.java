/** Identifiers, resource vectors and outcomes that all modules share. */
package org.knapweedbank.model;
