/** Estimates the quality of versions from ratings. */
package org.guavagw.internal.quality;
