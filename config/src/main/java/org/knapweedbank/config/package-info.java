/**
 * Parsing, merging and storing of the site configuration, with its generations and audit records.
 */
package org.knapweedbank.config;
