import {Announcement, type Logger} from '@egretrill/common';
import express, {type Express} from 'express';

export type TargetAppOptions = {
	readonly logger: Logger;
	readonly onAnnounce: (announcement: Announcement) => void;
};

/** Creates the HTTP endpoint that receives the announcements of targets. */
export function createTargetApp({logger, onAnnounce}: TargetAppOptions): Express {
	const app = express();
	app.disable('x-powered-by');
	app.disable('etag');
	app.post('/targets/announce', express.json({limit: '256kb'}), (req, res) => {
		const parsed = Announcement.safeParse(req.body);
		if (!parsed.success) {
			logger.warn({issues: parsed.error.issues.slice(0, 3)}, 'Refused a malformed announcement.');
			res.status(400).json({error: {code: 'invalid-announcement', message: parsed.error.issues[0]?.message ?? 'invalid'}});
			return;
		}

		onAnnounce(parsed.data);
		res.status(204).end();
	});
	return app;
}
