mod headers;
mod records;
mod settings;

/// A settings file of the platform, including a field that the product doesn't know.
pub(crate) const SETTINGS: &str = "nodeName = \"vm-1\"\nip = \"10.0.0.1\"\nzone = \"z\"\nportRange = [7600, 7615]\n\
    later = 1\n[listen]\nfront = \"10.0.0.1:80\"\nready = \"10.0.0.1:81\"\n\
    [platform]\naddress = \"10.0.0.2:82\"\nparts = 12\nttlMinMs = 1000\n\
    [bounds]\ngraceS = 8\nrevokeMs = 5000\nretryBudgetRatio = 0.2\nbudgetWindowS = 10\nretrySlack = 52\nleaseMs = 3000\ndrainMs = 2000\nconfigMs = 2000\n";
