/** Encoding and pacing of what the table service and the object store keep. */
package org.guavagw.internal.rows;
