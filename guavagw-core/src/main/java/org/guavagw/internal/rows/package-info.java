/** Encoding of rows and objects, and rate limiting of writes to the table service. */
package org.guavagw.internal.rows;
